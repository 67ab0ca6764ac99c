/** Admission gate with an adaptive concurrency limit in front of a backend server. */
package org.oriolewind.admission;
