/** Checks recorded event traces against the invariants of the mesh. */
package org.oriolewind.cli.replay;
