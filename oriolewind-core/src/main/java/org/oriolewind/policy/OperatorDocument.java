package org.oriolewind.policy;

import com.google.protobuf.ByteString;

/**
 * One document of the operators, as stored. Immutable.
 *
 * @param name its name within the kind
 * @param revision the store's revision of its last change
 * @param content the whole stored object
 */
public record OperatorDocument(String name, long revision, ByteString content) {}
