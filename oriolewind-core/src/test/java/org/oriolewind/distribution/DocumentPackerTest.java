package org.oriolewind.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.oriolewind.policy.DocumentKind;
import org.oriolewind.policy.FakeDecoder;
import org.oriolewind.policy.OperatorDocument;
import org.oriolewind.wire.DocumentSet;

class DocumentPackerTest {
    /** Design target: 1,300 nodes in 7 data centres, 220 services, a change current within 5 s. */
    private static final int NODES_PER_DATA_CENTRE = 1300 / 7;

    private static final int SERVICES = 220;
    private static final int ROUTES_PER_SERVICE = 3;
    private static final double SLOW_LINK_BYTES_PER_SECOND = 10_000_000 / 8.0;
    private static final double CHANGE_DEADLINE_SECONDS = 5;

    private static List<OperatorDocument> configuration() {
        Random random = new Random(1);
        StringBuilder json = new StringBuilder("{\"spec\":{\"version\":7,\"resources\":[");
        for (int i = 0; i < SERVICES * ROUTES_PER_SERVICE; i++) {
            json.append(
                    String.format(
                            "{\"type\":\"routes\",\"metadata\":{\"name\":\"r-%x\"},\"spec\":{"
                                    + "\"host\":\"%x.example\",\"path_prefix\":\"/%x/\",\"kind\":"
                                    + "\"safe\",\"timeout_s\":1.5,\"target_latency_s\":0.6,"
                                    + "\"max_attempts\":2,\"priority\":1,\"service\":\"s%x\"}},",
                            random.nextInt(),
                            random.nextInt(),
                            random.nextInt(),
                            random.nextInt(SERVICES)));
        }
        return List.of(FakeDecoder.document("main", 9, json.append("]}}").toString()));
    }

    @Test
    void unpacksWhatWasPacked() throws DocumentException {
        List<OperatorDocument> documents = configuration();
        DocumentSet set = DocumentPacker.pack(DocumentKind.CONFIG, 9, documents);
        assertEquals("config", set.getKind());
        assertEquals(9, set.getAsOfRevision());
        assertEquals(documents, DocumentPacker.unpack(set, "n"));
    }

    @Test
    void unpacksAnEmptyList() throws DocumentException {
        DocumentSet set = DocumentPacker.pack(DocumentKind.ROLLOUT, 9, List.of());
        assertEquals(List.of(), DocumentPacker.unpack(set, "n"));
    }

    /**
     * Guards against a saturated link: a change that was pushed uncompressed was still being sent
     * when the next change arrived.
     */
    @Test
    void changeIsPushedToADataCentreInTimeOverASlowLink() {
        DocumentSet set = DocumentPacker.pack(DocumentKind.CONFIG, 9, configuration());
        double seconds =
                (double) set.getSerializedSize()
                        * NODES_PER_DATA_CENTRE
                        / SLOW_LINK_BYTES_PER_SECOND;
        assertTrue(seconds <= CHANGE_DEADLINE_SECONDS, seconds + " s");
    }

    @Test
    void rejectsCorruptOrOversizedDocuments() {
        DocumentSet set = DocumentPacker.pack(DocumentKind.CONFIG, 9, configuration());
        ByteString half = set.getCompressedDocuments().substring(0, 50);
        DocumentSet truncated = set.toBuilder().setCompressedDocuments(half).build();
        DocumentSet large = set.toBuilder().setUncompressedSize(Integer.MAX_VALUE).build();
        assertThrows(DocumentException.class, () -> DocumentPacker.unpack(truncated, "n"));
        assertThrows(DocumentException.class, () -> DocumentPacker.unpack(large, "n"));
    }
}
