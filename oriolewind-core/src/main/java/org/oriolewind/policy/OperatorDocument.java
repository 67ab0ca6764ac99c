package org.oriolewind.policy;

import com.google.protobuf.ByteString;

/**
 * A document that operators wrote, as stored. Immutable.
 *
 * @param name the document's name, unique within its kind
 * @param revision the store revision of its last change
 * @param content the complete stored object
 */
public record OperatorDocument(String name, long revision, ByteString content) {}
