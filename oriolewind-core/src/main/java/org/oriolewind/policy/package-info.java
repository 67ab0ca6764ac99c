/**
 * The operators' documents on the platform: routes, services, client limits, evacuations and
 * rollouts of versions. The configuration that release notes define is in {@link
 * org.oriolewind.config}.
 */
package org.oriolewind.policy;
