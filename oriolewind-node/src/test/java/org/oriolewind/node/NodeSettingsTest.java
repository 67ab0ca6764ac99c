package org.oriolewind.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class NodeSettingsTest {
    private static Map<String, String> required() {
        Map<String, String> environment = new HashMap<>();
        environment.put("ORIOLEWIND_NODE", "n1");
        environment.put("ORIOLEWIND_DATA_CENTRE", "ikeja");
        environment.put("ORIOLEWIND_SERVICE", "press");
        environment.put("ORIOLEWIND_SERVICE_VERSION", "v1");
        environment.put("ORIOLEWIND_BACKEND_ADDRESS", "127.0.0.1:8080");
        environment.put("ORIOLEWIND_CALLER_ADDRESS", "127.0.0.1:8000");
        environment.put("ORIOLEWIND_PEER_ADDRESS", "127.0.0.1:8001");
        environment.put("ORIOLEWIND_ADMIN_ADDRESS", "127.0.0.1:8002");
        environment.put("ORIOLEWIND_PLATFORM_URL", "http://127.0.0.1:9000/");
        return environment;
    }

    private static NodeSettings read(Map<String, String> environment, String... flags)
            throws Exception {
        Options options = new Options();
        for (SettingName name : SettingName.values()) {
            options.addOption(Option.builder().longOpt(name.flag()).hasArg().get());
        }
        return NodeSettings.read(new DefaultParser().parse(options, flags), environment);
    }

    @Test
    void flagOverridesVariableAndVariableOverridesDefault() throws Exception {
        Map<String, String> environment = required();
        environment.put("ORIOLEWIND_MAX_CHILDREN", "5");
        assertEquals(8, read(required()).control().maxChildren());
        assertEquals(5, read(environment).control().maxChildren());
        assertEquals(6, read(environment, "--max-children", "6").control().maxChildren());
        assertEquals("http://127.0.0.1:9000", read(environment).platformUrl());
    }

    @ParameterizedTest
    @CsvSource({
        "node, 'a b', must be 1 to 100",
        "peer-address, here, must be HOST:PORT",
        "peer-address, 1.2.3.4:99999, must be HOST:PORT",
        "platform-url, ftp://x, must be an address",
        "max-children, 1, must be a whole number from 2 to 64",
        "max-children, many, must be a whole number from 2 to 64",
        "retry-share, 2, must be a number from 0 to 1",
        "gate-rule, best, must be one of",
        "seeds, '1.2.3.4:1,x', must be HOST:PORT"
    })
    void errorNamesTheInvalidSetting(String flag, String value, String problem) {
        SettingsException e =
                assertThrows(SettingsException.class, () -> read(required(), "--" + flag, value));
        assertEquals(1, e.errors().size());
        assertTrue(e.errors().get(0).startsWith("--" + flag), e::getMessage);
        assertTrue(e.errors().get(0).contains(problem), e::getMessage);
    }

    @Test
    void allInvalidSettingsAreReportedAtOnce() {
        SettingsException e =
                assertThrows(SettingsException.class, () -> read(Map.of(), "--max-children", "x"));
        List<String> errors = e.errors();
        assertEquals(10, errors.size());
        assertTrue(errors.get(0).contains("--node (or ORIOLEWIND_NODE) is missing"));
    }
}
