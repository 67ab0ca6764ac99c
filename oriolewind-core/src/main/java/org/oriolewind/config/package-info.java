/** Release notes, configuration versions and their publication. */
package org.oriolewind.config;
