/** The quickstart: a small mesh on one machine. */
package org.oriolewind.standins.quickstart;
