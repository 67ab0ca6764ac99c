/** Checks of recorded traces against what must always hold. */
package org.oriolewind.cli.replay;
