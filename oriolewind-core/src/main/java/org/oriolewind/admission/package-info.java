/** The gate in front of a backend server and its concurrency limit. */
package org.oriolewind.admission;
