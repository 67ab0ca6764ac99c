/** Which version and which node take a call, and whether it is sent again. */
package org.oriolewind.routing;
