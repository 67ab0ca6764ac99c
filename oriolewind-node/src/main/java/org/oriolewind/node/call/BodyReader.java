package org.oriolewind.node.call;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Content;

/** Reads a body whole, up to a limit, without blocking. Use one instance a body. */
final class BodyReader {
    private final Content.Source mSource;
    private final int mMaxBytes;
    private final Consumer<Optional<ByteString>> mDone;
    private final ByteString.Output mRead = ByteString.newOutput();

    /**
     * Creates a reader.
     *
     * @param source the body
     * @param maxBytes the limit
     * @param done called once, with empty if the body can't be read or is over the limit
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
            take(chunk);
            if (mRead.size() > mMaxBytes) {
                mDone.accept(Optional.empty());
                return;
            }
            if (chunk.isLast()) {
                mDone.accept(Optional.of(mRead.toByteString()));
                return;
            }
        }
    }

    private void take(Content.Chunk chunk) {
        byte[] bytes = new byte[chunk.remaining()];
        chunk.getByteBuffer().get(bytes);
        chunk.release();
        mRead.write(bytes, 0, bytes.length);
    }
}
