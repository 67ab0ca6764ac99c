package org.oriolewind.node.call;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Content;

/**
 * Reads a complete body up to a size limit, without blocking. Each instance reads one body. Not
 * thread-safe.
 */
final class BodyReader {
    private final Content.Source mSource;
    private final int mMaxBytes;
    private final Consumer<Optional<ByteString>> mDone;
    private final ByteString.Output mBody = ByteString.newOutput();

    /**
     * Creates a reader; {@link #read} starts it.
     *
     * @param source the body, as it is received
     * @param maxBytes maximum size of the body
     * @param done called once; with empty if the body cannot be read or exceeds the limit
     */
    BodyReader(Content.Source source, int maxBytes, Consumer<Optional<ByteString>> done) {
        mSource = source;
        mMaxBytes = maxBytes;
        mDone = done;
    }

    void read() {
        while (true) {
            Content.Chunk chunk = mSource.read();
            if (chunk == null) {
                mSource.demand(this::read);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                mDone.accept(Optional.empty());
                return;
            }
            append(chunk);
            if (mBody.size() > mMaxBytes) {
                mDone.accept(Optional.empty());
                return;
            }
            if (chunk.isLast()) {
                mDone.accept(Optional.of(mBody.toByteString()));
                return;
            }
        }
    }

    private void append(Content.Chunk chunk) {
        byte[] bytes = new byte[chunk.remaining()];
        chunk.getByteBuffer().get(bytes);
        chunk.release();
        mBody.write(bytes, 0, bytes.length);
    }
}
