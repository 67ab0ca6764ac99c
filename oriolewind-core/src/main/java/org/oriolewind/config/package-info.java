/** Release notes, configuration versions, and their publication on the platform. */
package org.oriolewind.config;
