import type { SettingKind } from "./setting_kind.ts";

/** One setting: a flag and an environment variable. */
export interface SettingSpec {
    /** Flag without the leading hyphens. */
    readonly name: string;
    readonly kind: SettingKind;
    /** Empty for values without a unit. */
    readonly unit: string;
    /** Undefined when the setting is required, empty when it is optional without a default. */
    readonly defaultValue: string | undefined;
    readonly description: string;
    /** Limits of an integer. */
    readonly min?: number;
    readonly max?: number;
}
