/** Idempotency keys: grants claims of keys, and stores them in a journal on the platform. */
package org.oriolewind.idempotency;
