/** The operators' command oriolewind, one class a command. */
package org.oriolewind.cli;
