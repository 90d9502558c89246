/**
 * Maps the names of services to their types.
 *
 * Each folder adds its own entries by declaration merging, next to the type of the service:
 * `declare module '../kernel/service-map.js' { interface ServiceMap { clock: Clock } }`.
 */
export interface ServiceMap {}

/** The name of a service. */
export type ServiceName = keyof ServiceMap;
