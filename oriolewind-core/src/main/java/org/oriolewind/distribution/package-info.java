/**
 * Distribution of the operators' documents: which node watches the store for its data centre, to
 * which nodes it pushes changes, and how a node that lags behind fetches them.
 */
package org.oriolewind.distribution;
