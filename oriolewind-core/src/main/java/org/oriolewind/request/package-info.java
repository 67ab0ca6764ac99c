/** The way of a call: from a caller over nodes and the gate to a backend server. */
package org.oriolewind.request;
