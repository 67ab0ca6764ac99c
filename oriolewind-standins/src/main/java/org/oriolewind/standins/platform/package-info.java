/** A stand-in for the platform's object API over HTTP. */
package org.oriolewind.standins.platform;
