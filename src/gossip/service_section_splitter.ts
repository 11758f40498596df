import type { SectionSplitter } from "./section_splitter.ts";

/**
 * Starts a section at each entry below the top-level key `services`. Works on lines, so that the text
 * with its comments is transferred unchanged and its digest stays the same.
 */
export class ServiceSectionSplitter implements SectionSplitter {
    split(source: string): readonly string[] {
        const lines = source.match(/[^\n]*\n|[^\n]+$/g) ?? [];
        const sections: string[] = [];
        let section = "";
        let inServices = false;
        let indent: number | undefined;
        for (const line of lines) {
            const width = line.length - line.trimStart().length;
            const isContent = line.trim() !== "" && !line.trimStart().startsWith("#");
            let startsSection = false;
            if (isContent && width === 0 && !line.startsWith("-")) {
                startsSection = inServices;
                inServices = line.startsWith("services:");
                indent = undefined;
            }
            else if (isContent && inServices) {
                indent ??= width;
                startsSection = width === indent;
            }
            if (startsSection && section !== "") {
                sections.push(section);
                section = "";
            }
            section += line;
        }
        return section === "" ? sections : [...sections, section];
    }
}
