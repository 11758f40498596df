/**
 * Reports files with more than one exported name. A constant object and a type of the same name count as one.
 */
export const oneExport = {
    meta: { type: "problem", schema: [], messages: { many: "A file exports one name; found {{names}}." } },
    create(context) {
        const names = new Set();
        return {
            "ExportNamedDeclaration"(node) {
                for (const specifier of node.specifiers) {
                    names.add(specifier.exported.name);
                }
                const declaration = node.declaration;
                if (declaration?.id) {
                    names.add(declaration.id.name);
                }
                for (const declarator of declaration?.declarations ?? []) {
                    names.add(declarator.id.name ?? "destructured");
                }
            },
            "ExportDefaultDeclaration"() {
                names.add("default");
            },
            "Program:exit"(node) {
                if (names.size > 1) {
                    context.report({ node, messageId: "many", data: { names: [...names].join(", ") } });
                }
            },
        };
    },
};
