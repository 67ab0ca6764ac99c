/** How nodes spread configuration and membership among each other. */
package org.oriolewind.control;
