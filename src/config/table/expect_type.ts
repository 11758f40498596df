import type { ExpectConfig } from "../expect_config.ts";
import { ListType } from "../fields/list_type.ts";
import { NumberType } from "../fields/number_type.ts";
import { RecordType } from "../fields/record_type.ts";
import { TextType } from "../fields/text_type.ts";

/** Fields of `expect`. */
export const expectType = new RecordType<ExpectConfig>({
    statuses: {
        type: new ListType(new NumberType({ minimum: 200, maximum: 599, integer: true }), 50),
        unit: "HTTP status",
        defaultValue: [200],
        description: "Statuses of a correct response. Any other status is evidence against the upstream.",
    },
    contentType: {
        type: new TextType({
            meaning: "a media type in lower case without parameters, or empty text,",
            pattern: /^$|^[a-z0-9!#$&^_.+-]+\/[a-z0-9!#$&^_.+-]+$/,
            maxLength: 127,
        }),
        defaultValue: "",
        description: "Media type of a correct response; any media type is correct when it is empty.",
    },
});
