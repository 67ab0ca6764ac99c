package org.oriolewind.config;

/**
 * Result of publishing or validating a change. Immutable.
 *
 * @param head the head that contains the change, or the head that it was checked against
 * @param changed false if the change was already in force
 */
public record PublishResult(ConfigHead head, boolean changed) {}
