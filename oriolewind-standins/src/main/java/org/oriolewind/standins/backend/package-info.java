/** A stand-in for backend servers. */
package org.oriolewind.standins.backend;
