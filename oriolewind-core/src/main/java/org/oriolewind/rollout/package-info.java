/** Trials of new backend server versions: their share, the evidence and the verdict. */
package org.oriolewind.rollout;
