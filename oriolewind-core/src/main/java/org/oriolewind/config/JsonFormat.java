package org.oriolewind.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;

/** The JSON settings shared by all modules. Stateless. */
public final class JsonFormat {
    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .addModule(new JavaTimeModule())
                    .addModule(new Jdk8Module())
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                    .enable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
                    .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                    .disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
                    .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
                    .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
                    .build();

    private JsonFormat() {}

    /**
     * Returns the mapper. It rejects unknown fields, duplicate fields and coerced scalars, and
     * writes fields and map keys in order, so that equal values give equal text.
     *
     * @return the mapper, thread-safe
     */
    public static JsonMapper mapper() {
        return MAPPER;
    }
}
