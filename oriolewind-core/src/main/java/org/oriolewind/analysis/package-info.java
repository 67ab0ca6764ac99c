/** Moves of traffic between versions, decided on evidence. */
package org.oriolewind.analysis;
