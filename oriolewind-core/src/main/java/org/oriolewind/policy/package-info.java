/** What operators ask for: routes, services, limits, data centres out and trials of versions. */
package org.oriolewind.policy;
