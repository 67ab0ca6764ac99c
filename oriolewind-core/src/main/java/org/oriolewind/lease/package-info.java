/** Leader election by leases: conditional writes to the store with a term that only grows. */
package org.oriolewind.lease;
