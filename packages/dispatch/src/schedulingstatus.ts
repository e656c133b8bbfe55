/** How an entry takes part in sharing the capacity of the fleet, as status pages and metrics show it. */
import type { AdmissionStatus } from './fleetadmission.ts'
import type { ForecastStatus } from './capacityforecast.ts'
import type { SharingStatus } from './sharingstatus.ts'
import type { SpeedStatus } from './fleetspeeds.ts'

/** Capacity of one service, as this entry knows it. */
export interface ServiceCapacity extends ForecastStatus {
  service: string
  /** Processors of the targets that are expected to take work some time from now, in thousandths of a core, by milliseconds ahead. */
  ahead: Record<number, number>
}

export interface SchedulingStatus {
  room: SharingStatus
  /** Empty unless admission goes by the whole fleet. */
  admission: AdmissionStatus[]
  speeds: SpeedStatus
  capacity: ServiceCapacity[]
}
