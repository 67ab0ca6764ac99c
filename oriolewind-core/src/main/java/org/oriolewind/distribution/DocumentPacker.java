package org.oriolewind.distribution;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.oriolewind.policy.DocumentKind;
import org.oriolewind.policy.OperatorDocument;
import org.oriolewind.wire.Document;
import org.oriolewind.wire.DocumentList;
import org.oriolewind.wire.DocumentSet;

/**
 * Packs the documents of a kind for other nodes. They are compressed: a node passes each change to
 * all nodes of its data centre, over a link that may be narrow. Stateless.
 */
public final class DocumentPacker {
    /** Largest list that is unpacked: the store holds a megabyte an object. */
    private static final int MAX_UNPACKED_BYTES = 16 * 1024 * 1024;

    private static final int BUFFER_BYTES = 4096;

    private DocumentPacker() {}

    /**
     * Packs documents.
     *
     * @param kind their kind
     * @param asOfRevision the revision up to which they are known
     * @param documents all documents of the kind
     * @return the message
     */
    public static DocumentSet pack(
            DocumentKind kind, long asOfRevision, Collection<OperatorDocument> documents) {
        DocumentList.Builder list = DocumentList.newBuilder();
        for (OperatorDocument document : documents) {
            list.addDocuments(
                    Document.newBuilder()
                            .setName(document.name())
                            .setRevision(document.revision())
                            .setContent(document.content()));
        }
        byte[] bytes = list.build().toByteArray();
        return DocumentSet.newBuilder()
                .setKind(kind.key())
                .setAsOfRevision(asOfRevision)
                .setCompressedDocuments(deflate(bytes))
                .setUncompressedSize(bytes.length)
                .build();
    }

    private static ByteString deflate(byte[] bytes) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(bytes);
            deflater.finish();
            ByteString.Output output = ByteString.newOutput();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                output.write(buffer, 0, deflater.deflate(buffer));
            }
            return output.toByteString();
        } finally {
            deflater.end();
        }
    }

    /**
     * Unpacks documents.
     *
     * @param set the message
     * @param peer the node it came from, for the error
     * @return the documents
     * @throws DocumentException if the message is damaged or too large
     */
    public static List<OperatorDocument> unpack(DocumentSet set, String peer)
            throws DocumentException {
        try {
            DocumentList list = DocumentList.parseFrom(inflate(set));
            List<OperatorDocument> documents = new ArrayList<>();
            for (Document document : list.getDocumentsList()) {
                documents.add(
                        new OperatorDocument(
                                document.getName(), document.getRevision(), document.getContent()));
            }
            return documents;
        } catch (DataFormatException | InvalidProtocolBufferException e) {
            throw new DocumentException("unpack documents", peer, "can't be read", e);
        }
    }

    private static byte[] inflate(DocumentSet set) throws DataFormatException {
        int size = set.getUncompressedSize();
        if (size < 0 || size > MAX_UNPACKED_BYTES) {
            throw new DataFormatException("size out of range");
        }
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(set.getCompressedDocuments().asReadOnlyByteBuffer());
            byte[] bytes = new byte[size];
            int filled = 0;
            while (filled < size) {
                int read = inflater.inflate(bytes, filled, size - filled);
                if (read == 0) {
                    throw new DataFormatException("ends early");
                }
                filled += read;
            }
            return bytes;
        } finally {
            inflater.end();
        }
    }
}
