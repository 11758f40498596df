import { createTypeScriptImportResolver } from "eslint-import-resolver-typescript";
import importX from "eslint-plugin-import-x";
import tseslint from "typescript-eslint";
import { oneExport } from "./eslint_rules/one_export.js";
import { verbNames } from "./eslint_rules/verb_names.js";

const threadsAndProcesses = ["node:worker_threads", "node:child_process", "node:cluster"];
const edgeLibraries = [
    "koa",
    "got",
    "undici",
    "@connectrpc/*",
    "hot-shots",
    "loglevel",
    "node:http",
    "node:http2",
    "node:net",
    "node:dgram",
];
const restrictImports =
    group => ["error", { patterns: [{ group, message: "Not allowed in this folder, see docs/design.md." }] }];

export default tseslint.config(
    { ignores: ["node_modules/", "dist/", "target/", "src/gen/", "eslint_rules/", "eslint.config.js"] },
    ...tseslint.configs.recommendedTypeChecked,
    {
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        plugins: {
            "import-x": importX,
            "local": { rules: { "one-export": oneExport, "verb-names": verbNames } },
        },
        settings: {
            "import-x/resolver-next": [createTypeScriptImportResolver({ project: "./tsconfig.json" })],
            "import-x/parsers": { "@typescript-eslint/parser": [".ts"] },
        },
        rules: {
            "local/one-export": "error",
            "local/verb-names": "error",
            "import-x/no-cycle": "error",
            "curly": ["error", "all"],
            "eqeqeq": ["error", "always"],
            "max-lines": ["error", { max: 300, skipBlankLines: false, skipComments: false }],
            "no-restricted-syntax": [
                "error",
                { selector: "TSEnumDeclaration", message: "Use a constant object in place of an enum." },
                { selector: "ThrowStatement > Literal", message: "Throw an Error, not a string." },
                { selector: "Literal[raw='null']", message: "Use undefined in place of null." },
            ],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
            "@typescript-eslint/require-await": "off",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "function", format: ["camelCase"] },
                { selector: "classMethod", format: ["camelCase"] },
            ],
        },
    },
    {
        files: ["src/**/*.ts"],
        ignores: ["src/edge/**", "src/**/*.test.ts"],
        rules: {
            "no-restricted-imports": restrictImports([...threadsAndProcesses, ...edgeLibraries, "**/gen/*"]),
        },
    },
    {
        files: ["src/edge/**/*.ts"],
        rules: { "no-restricted-imports": restrictImports(threadsAndProcesses) },
    },
    {
        files: ["**/*.test.ts", "features/**/*.ts"],
        rules: {
            "@typescript-eslint/no-floating-promises": ["error", {
                allowForKnownSafeCalls: [{
                    from: "package",
                    package: "node:test",
                    name: ["test", "describe", "it"],
                }],
            }],
        },
    },
);
