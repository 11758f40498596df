import type { PeerControlClient } from "../../../src/gossip/peer_control_client.ts";
import type { SectionResponse } from "../../../src/gossip/section_response.ts";

/** Wraps the control client of a daemon so that each configuration section it receives is corrupted. */
export function createCorruptingClient(
    control: PeerControlClient,
    updateResponse: (response: SectionResponse) => SectionResponse = response => response,
): PeerControlClient {
    return {
        sendHeads: (address, message, timeoutMs) => control.sendHeads(address, message, timeoutMs),
        fetchSections: async (address, request, timeoutMs) => {
            const result = await control.fetchSections(address, request, timeoutMs);
            return result.map(response => {
                const pieces = response.pieces.map(piece => ({
                    ...piece,
                    content: piece.content.replace("valid", "forged"),
                }));
                return updateResponse({ ...response, pieces });
            });
        },
    };
}
