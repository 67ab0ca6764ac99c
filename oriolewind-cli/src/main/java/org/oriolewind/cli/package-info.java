/** The command line tool {@code oriolewind} for operators. Each subcommand is one class. */
package org.oriolewind.cli;
