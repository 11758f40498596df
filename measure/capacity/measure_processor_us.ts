/** Processor time in microseconds, in user and kernel mode and on all threads of the process, of one action. */
export async function measureProcessorUs(action: () => unknown): Promise<number> {
    const start = process.cpuUsage();
    await action();
    const { user, system } = process.cpuUsage(start);
    return user + system;
}
