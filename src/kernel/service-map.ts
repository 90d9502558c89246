/**
 * The names under which services find each other.
 *
 * Each domain adds its own entry by declaration merging, next to the interface it names:
 * `declare module '../kernel/service-map.js' { interface ServiceMap { clock: Clock } }`.
 */
export interface ServiceMap {}

/** A name under which a service can be registered. */
export type ServiceName = keyof ServiceMap;
