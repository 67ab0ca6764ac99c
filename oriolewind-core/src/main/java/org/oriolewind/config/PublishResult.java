package org.oriolewind.config;

/**
 * The result of a publication. Immutable.
 *
 * @param head the head that holds the change
 * @param changed false if the change was in force already
 */
public record PublishResult(ConfigHead head, boolean changed) {}
