import type { Configuration } from "../configuration.ts";
import { findNode } from "../yaml/find_node.ts";
import type { SourceDocument } from "../yaml/source_document.ts";
import { configRules } from "./config_rules.ts";
import type { Finding } from "./finding.ts";

/** Applies the rules and adds each finding to the problems of the document. */
export function checkRules(configuration: Configuration, document: SourceDocument): void {
    for (const rule of configRules) {
        for (const finding of rule.check(configuration)) {
            addProblem(finding, document);
        }
    }
}

function addProblem(finding: Finding, document: SourceDocument): void {
    const { code, path, message } = finding;
    if (document.root === undefined) {
        return;
    }
    const { node, depth } = findNode(document.root, path);
    // A value that the text leaves out has no position; it is reported at the key of its parent.
    const offset = finding.atKey || depth < path.length ? node.keyOffset : node.offset;
    const field = path.map(step => typeof step === "number" ? `[${step}]` : `.${step}`).join("").slice(1);
    document.problems.add(code, offset, field, message);
}
