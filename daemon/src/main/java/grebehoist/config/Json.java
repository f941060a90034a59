package grebehoist.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;

/**
 * Puts what Jackson's parser reads into Jackson's nodes. Its {@code ObjectMapper} does the same, but sets up formats of
 * dates, locales and all that beans need first: a quarter of what a start costs.
 */
public final class Json {
    private static final JsonFactory FACTORY = new JsonFactory();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private Json() {}

    /** Returns an empty object. */
    public static ObjectNode object() {
        return NODES.objectNode();
    }

    /** Returns the document, or a {@link MissingNode} where there is none. */
    public static JsonNode read(InputStream document) throws IOException {
        return read(FACTORY.createParser(document));
    }

    /** Returns what a parser reads, whatever the format, and closes it. */
    public static JsonNode read(JsonParser parser) throws IOException {
        try (parser) {
            return parser.nextToken() == null ? MissingNode.getInstance() : value(parser);
        }
    }

    /** Reads the value that begins with the current token. How deep it may nest is the parser's limit. */
    private static JsonNode value(JsonParser parser) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT -> {
                ObjectNode object = NODES.objectNode();
                while (parser.nextToken() != JsonToken.END_OBJECT) {
                    String name = parser.currentName();
                    parser.nextToken();
                    object.set(name, value(parser));
                }
                return object;
            }
            case START_ARRAY -> {
                ArrayNode array = NODES.arrayNode();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    array.add(value(parser));
                }
                return array;
            }
            case VALUE_STRING -> {
                return NODES.textNode(parser.getText());
            }
            case VALUE_NUMBER_INT -> {
                return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                        ? NODES.numberNode(parser.getBigIntegerValue())
                        : NODES.numberNode(parser.getLongValue());
            }
            case VALUE_NUMBER_FLOAT -> {
                return NODES.numberNode(parser.getDoubleValue());
            }
            case VALUE_TRUE, VALUE_FALSE -> {
                return NODES.booleanNode(parser.getBooleanValue());
            }
            case VALUE_NULL -> {
                return NODES.nullNode();
            }
            default -> throw new JsonParseException(parser, "no value where one is wanted");
        }
    }
}
