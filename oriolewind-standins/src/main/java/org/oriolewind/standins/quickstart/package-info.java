/** The quickstart, which runs a small mesh on one machine, and the processes it consists of. */
package org.oriolewind.standins.quickstart;
