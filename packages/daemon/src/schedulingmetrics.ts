/** Metrics of an entry's part in sharing the capacity of the fleet; the command-line tool sums them over all entries. */
import type { AdmissionStatus } from '@amaranthmast/dispatch/fleetadmission'
import type { SchedulingStatus, ServiceCapacity } from '@amaranthmast/dispatch/schedulingstatus'
import type { AllocationStatus } from '@amaranthmast/dispatch/allocationstatus'
import type { Exposition, Labels, Sample } from './exposition.ts'

const MILLICORES_PER_CORE = 1000

/** @param name name of this entry: only the groups whose capacity it assigns itself are exposed, as it has only reports of the others */
export function exposeScheduling (exposition: Exposition, name: string, { room, admission, speeds, capacity }: SchedulingStatus): void {
  exposition.counter('amaranthmast_admission_jobs_total', 'Jobs by queue: offered, admitted, answered in time and late', admission.flatMap(jobsOf))
  exposition.counter('amaranthmast_admission_refused_total', 'Jobs refused, by queue and cause', admission.flatMap(refusedOf))
  exposition.gauge('amaranthmast_share_cores', 'Cores by queue: offered, its share, the part of that borrowed, held, waited for; and the part of its jobs that is admitted', admission.flatMap(shareOf))
  exposition.gauge('amaranthmast_demand_cores', 'Cores by queue and data centre of the callers: offered, held, waited for', admission.flatMap(demandOf))
  exposition.gauge('amaranthmast_room_cores', 'Free cores of the groups of targets whose room this entry gives out', room.groups.filter(({ entry }) => entry === name).map(({ group, entry, free }) => ({ labels: { group, entry, figure: 'free' }, value: free / MILLICORES_PER_CORE })))
  exposition.gauge('amaranthmast_room_requests', 'Requests for room: under way, waiting elsewhere, of others waiting here', requestsOf(room))
  exposition.gauge('amaranthmast_lag_milliseconds', 'How late this process handles its events', [{ labels: {}, value: room.lag }])
  exposition.gauge('amaranthmast_targets', 'Targets by speed, and how many of them it is known of', speeds.classes.flatMap(({ speed, targets, certain }) => samplesOf({ speed: String(speed) }, { targets, certain })))
  exposition.gauge('amaranthmast_kind_speed', 'Speed of each kind of target', Object.entries(speeds.kinds).map(([kind, value]) => ({ labels: { kind, figure: 'speed' }, value })))
  exposition.gauge('amaranthmast_capacity_cores', 'Cores of a service now and ahead', capacity.flatMap(capacityOf))
}

function jobsOf ({ name, counts: { offered, admitted, inTime, late } }: AdmissionStatus): Sample[] {
  return samplesOf({ queue: name }, { offered, admitted, in_time: inTime, late })
}

function refusedOf ({ name, counts }: AdmissionStatus): Sample[] {
  return Object.entries(counts.refused).map(([cause, value]) => ({ labels: { queue: name, cause, figure: 'refused' }, value }))
}

function shareOf ({ name, offered, share, borrowed, running, waiting, threshold }: AdmissionStatus): Sample[] {
  return samplesOf({ queue: name }, { offered, share, borrowed, running, waiting, threshold })
}

function demandOf ({ name, dataCentres }: AdmissionStatus): Sample[] {
  return Object.entries(dataCentres).flatMap(([dataCentre, figures]) => samplesOf({ queue: name, data_centre: dataCentre }, figures))
}

function requestsOf ({ asked, waiting, requests }: AllocationStatus): Sample[] {
  return samplesOf({}, { asked, waiting, requests })
}

function capacityOf ({ service, total, free, targets, leaving, evacuated, away, ahead }: ServiceCapacity): Sample[] {
  const now = samplesOf({ service, ahead: '0' }, { total: total / MILLICORES_PER_CORE, free: free / MILLICORES_PER_CORE, targets, leaving, evacuated, away })
  return [...now, ...Object.entries(ahead).map(([milliseconds, cpu]) => ({ labels: { service, ahead: milliseconds, figure: 'total' }, value: cpu / MILLICORES_PER_CORE }))]
}

function samplesOf (labels: Labels, figures: Readonly<Record<string, number>>): Sample[] {
  return Object.entries(figures).map(([figure, value]) => ({ labels: { ...labels, figure }, value }))
}
