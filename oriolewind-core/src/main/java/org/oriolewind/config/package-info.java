/** Release notes, configuration versions, and the publication of both on the platform. */
package org.oriolewind.config;
