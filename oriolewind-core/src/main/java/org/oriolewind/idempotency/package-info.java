/** Idempotency keys: which calls were claimed, kept in a journal at the platform. */
package org.oriolewind.idempotency;
