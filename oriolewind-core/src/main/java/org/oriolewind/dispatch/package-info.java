/**
 * The request path of the platform adapter: dispatches client requests to a service, a version and
 * a node by the policy in force, retries them, and produces the reply.
 */
package org.oriolewind.dispatch;
