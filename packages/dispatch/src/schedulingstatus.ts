/** State of capacity allocation, admission and speeds of an entry, for status pages and metrics. */
import type { AdmissionStatus } from './fleetadmission.ts'
import type { ForecastStatus } from './capacityforecast.ts'
import type { AllocationStatus } from './allocationstatus.ts'
import type { SpeedStatus } from './fleetspeeds.ts'

/** Capacity of one service, as recorded by this entry. */
export interface ServiceCapacity extends ForecastStatus {
  service: string
  /** Processors of the targets that are expected to accept work in the future, in thousandths of a core, by milliseconds from now. */
  ahead: Record<number, number>
}

export interface SchedulingStatus {
  room: AllocationStatus
  /** Empty unless admission uses the demand and capacity of the whole fleet. */
  admission: AdmissionStatus[]
  speeds: SpeedStatus
  capacity: ServiceCapacity[]
}
