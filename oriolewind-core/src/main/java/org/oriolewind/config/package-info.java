/** Release notes and their moves, configuration versions, and their publication on the platform. */
package org.oriolewind.config;
