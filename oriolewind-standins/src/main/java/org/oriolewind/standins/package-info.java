/** Small stand-ins for the systems around oriolewind. */
package org.oriolewind.standins;
