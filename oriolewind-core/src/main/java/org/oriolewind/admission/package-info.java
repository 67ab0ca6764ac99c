/**
 * Admission gate with an adaptive concurrency limit in front of a backend server, as the node
 * daemon uses it. The gate of the platform adapter is in {@link org.oriolewind.backend}.
 */
package org.oriolewind.admission;
