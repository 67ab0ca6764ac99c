/** The daemon oriolewindd: its settings, start and end. */
package org.oriolewind.node;
