/**
 * The operators' documents: routes, services, client limits, evacuations and rollouts of versions.
 */
package org.oriolewind.policy;
