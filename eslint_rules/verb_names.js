import { readFileSync } from "node:fs";

const glossary = readFileSync(new URL("../docs/glossary.md", import.meta.url), "utf8");
const section = /<!-- verbs -->([\s\S]*?)<!-- \/verbs -->/.exec(glossary)?.[1] ?? "";
const verbs = [...section.matchAll(/`([a-z]+)`/g)].map(match => match[1]);
const pattern = new RegExp(`^(?:${verbs.join("|")})(?:[A-Z0-9]|$)`);

/**
 * Reports functions and methods whose name does not begin with a verb of the list in docs/glossary.md.
 */
export const verbNames = {
    meta: {
        type: "problem",
        schema: [],
        messages: { verb: "'{{name}}' must begin with a verb of the list in docs/glossary.md." },
    },
    create(context) {
        const check = (node, name) => {
            if (name !== undefined && !pattern.test(name)) {
                context.report({ node, messageId: "verb", data: { name } });
            }
        };
        return {
            FunctionDeclaration(node) {
                check(node, node.id?.name);
            },
            VariableDeclarator(node) {
                const type = node.init?.type;
                if ((type === "ArrowFunctionExpression" || type === "FunctionExpression") && node.id.name) {
                    check(node, node.id.name);
                }
            },
            MethodDefinition(node) {
                if (node.kind === "method" && node.key.type === "Identifier") {
                    check(node, node.key.name);
                }
            },
            TSMethodSignature(node) {
                if (node.key.type === "Identifier") {
                    check(node, node.key.name);
                }
            },
        };
    },
};
