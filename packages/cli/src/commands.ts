/** Registry of the tool's commands by name. */
import { apply } from './apply.ts'
import { check } from './check.ts'
import type { Command } from './command.ts'
import { drain } from './drain.ts'
import { explain } from './explain.ts'
import { fleet } from './fleet.ts'
import { get } from './get.ts'
import { history } from './history.ts'
import { losses } from './losses.ts'
import { plan } from './plan.ts'
import { status } from './status.ts'
import { top } from './top.ts'

/** All commands, in the order of the help text. */
export const COMMANDS: Readonly<Record<string, Command>> = { check, plan, apply, get, drain, status, history, top, fleet, explain, losses }
