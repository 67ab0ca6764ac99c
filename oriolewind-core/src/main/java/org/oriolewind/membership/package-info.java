/** Which nodes there are, where they are and whether they are up. */
package org.oriolewind.membership;
